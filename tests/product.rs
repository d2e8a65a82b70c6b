//! Tests of the parts of the product: documents, samples, settings and command line.

mod product {
    mod addresses;
    mod cli;
    mod config;
    mod docs;
    mod measure;
    mod platform;
    mod settings;
    mod store;
    mod telemetry;
    mod timeline;
}
