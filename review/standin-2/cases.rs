//! The cases. Each returns whether its rule held.

mod abandoned_uploads;
mod idle_connections;
mod last_tenant;
mod long_name;

use {super::record::Record, std::io};

pub fn run(case: &str, record: &Record, has_trouble: bool) -> io::Result<bool> {
    match case {
        "abandoned-uploads" => abandoned_uploads::run(record, has_trouble),
        "idle-connections" => idle_connections::run(record, has_trouble),
        "last-tenant" => last_tenant::run(record, has_trouble),
        "long-name" => long_name::run(record, has_trouble),
        _ => Err(io::Error::other("there is no such case")),
    }
}
