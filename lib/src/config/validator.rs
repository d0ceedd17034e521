//! Validates sets of values before they come into force.

use {
    crate::{table, unit::Revision},
    std::fmt,
};

/// Builds a set of tables from values, or reports why they are invalid.
pub trait Validator {
    /// Validates the values of one revision and builds their set.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    fn validate<'a>(
        &self,
        revision: Revision,
        values: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<table::Set, Vec<table::Error>>;
}

/// Validates values by the rules of the tables.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tables;

impl Validator for Tables {
    fn validate<'a>(
        &self,
        revision: Revision,
        values: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<table::Set, Vec<table::Error>> {
        let mut builder = table::Builder::new();
        for (name, text) in values {
            builder.add_value(name, text);
        }
        builder.finish(revision)
    }
}

/// A validation error as shown to operators. Key digests are left out.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Fault {
    /// The place of the error.
    pub place: String,
    /// The description of the error.
    pub fault: String,
}

impl From<&table::Error> for Fault {
    fn from(error: &table::Error) -> Self {
        let is_key = error.place.source.starts_with("keys/");
        if !is_key {
            let place = error.place.to_string();
            return Self { place, fault: error.fault.to_string() };
        }
        let fault = match &error.fault {
            // A syntax error may quote the text, which contains the digest.
            table::Fault::Syntax(_) => "the value is not an entry of the table of keys".to_owned(),
            fault => fault.to_string(),
        };
        Self { place: format!("keys/(digest):{}", error.place.line), fault }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}
