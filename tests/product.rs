//! Tests of single parts of the product: documents, configuration, settings, command line, platform
//! client, measurement and telemetry.

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
