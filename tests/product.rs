//! Tests of the documents, samples, settings and clients, and of the command line.

mod product {
    mod addresses;
    mod cli;
    mod config;
    mod config_check;
    mod docs;
    mod duty_cost;
    mod measure;
    mod platform;
    mod pool;
    mod settings;
    mod store;
    mod telemetry;
    mod timeline;
    mod updates;
}
