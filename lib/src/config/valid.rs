//! Whether a set of values may come into force.

use {
    crate::{table, unit::Revision},
    std::fmt,
};

/// Makes a set of tables out of values, or says why they make none.
pub trait Validator {
    /// Joins the values of one revision.
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

/// Joins values by the rules of the tables.
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

/// A fault as operators see it. A key's digest is left out.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Fault {
    /// Where the fault stands.
    pub place: String,
    /// What is wrong there.
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
            // The message may quote the text, and the digest is in it.
            table::Fault::Syntax(_) => "the value is not a line of the table of keys".to_owned(),
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
