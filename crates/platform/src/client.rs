//! Client of the platform's HTTP interface.

use crate::Error;
use crate::list::List;
use crate::table::{Row, Write, Written};
use base::http::client::{Answer, Target};
use bytes::Bytes;
use hyper::{Method, StatusCode};

/// Client of one platform.
#[derive(Debug, Clone)]
pub struct Client {
    target: Target,
}

impl Client {
    /// Makes a client; no connection is opened yet.
    pub fn new(target: Target) -> Self {
        Self { target }
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] if there is no such row; otherwise the error of the call.
    pub async fn read(&self, key: &str) -> Result<Row, Error> {
        let answer = self
            .target
            .call(Method::GET, &format!("/table/{key}"), Bytes::new())
            .await?;
        Ok(accepted(answer)?.decode()?)
    }

    /// Reads all rows whose key starts with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let path = format!("/table?prefix={prefix}");
        let answer = self.target.call(Method::GET, &path, Bytes::new()).await?;
        Ok(accepted(answer)?.decode()?)
    }

    /// Writes a row if it still has the expected version, and returns its new version.
    ///
    /// After a lost answer the row is read again: if it has this operation's id, the write took
    /// effect.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if another write came first; [`Error::Lost`] if the answer was lost and
    /// reading the row did not show whether the write took effect.
    pub async fn write(&self, key: &str, write: &Write) -> Result<u64, Error> {
        match self.write_once(key, write).await {
            Err(Error::Lost(reason)) => match self.read(key).await {
                Ok(row) if row.operation == write.operation => Ok(row.version),
                Ok(row) if row.version != write.expected => Err(Error::Conflict(row.version)),
                _ => Err(Error::Lost(reason)),
            },
            result => result,
        }
    }

    async fn write_once(&self, key: &str, write: &Write) -> Result<u64, Error> {
        let answer = self
            .target
            .call_json(Method::PUT, &format!("/table/{key}"), write)
            .await?;
        if answer.status == StatusCode::CONFLICT {
            return Err(Error::Conflict(answer.decode::<Written>()?.version));
        }
        Ok(accepted(answer)?.decode::<Written>()?.version)
    }

    /// Stores an object under its content hash; storing it again changes nothing.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn put(&self, hash: &str, bytes: impl Into<Bytes>) -> Result<(), Error> {
        let answer = self
            .target
            .call(Method::PUT, &format!("/objects/{hash}"), bytes)
            .await?;
        accepted(answer).map(|_| ())
    }

    /// Fetches an object by its content hash.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] if there is no such object; otherwise the error of the call.
    pub async fn get(&self, hash: &str) -> Result<Bytes, Error> {
        let path = format!("/objects/{hash}");
        let answer = self.target.call(Method::GET, &path, Bytes::new()).await?;
        Ok(accepted(answer)?.body)
    }

    /// Reads the list of VMs and backend servers, which may be outdated.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn list(&self) -> Result<List, Error> {
        let answer = self.target.call(Method::GET, "/vms", Bytes::new()).await?;
        Ok(accepted(answer)?.decode()?)
    }
}

fn accepted(answer: Answer) -> Result<Answer, Error> {
    match answer.status {
        status if status.is_success() => Ok(answer),
        StatusCode::NOT_FOUND => Err(Error::Absent),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable("out of service".into())),
        status => Err(Error::Invalid(format!("status {status}").into())),
    }
}
