//! `hyssopwalk addresses`: lists the instance addresses that a caller should use.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;

use super::client::{ApiRequest, Client};
use super::operator_args::AddressesArgs;
use super::table::{print_json, print_table};
use crate::connection::AddressesWire;

impl AddressesArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::new(&self.ask);
        let addresses: AddressesWire = match block_on(client.send(&self.request())) {
            Ok(addresses) => addresses,
            Err(error) => return error.report(self.ask.json),
        };
        if self.ask.json {
            print_json(&addresses)?;
            return Ok(ExitCode::SUCCESS);
        }
        let rows: Vec<_> = addresses
            .addresses
            .into_iter()
            .map(|address| vec![address.addr, address.name, address.failure_domain])
            .collect();
        print_table(&["ADDRESS", "INSTANCE", "FAILURE DOMAIN"], &rows)?;
        println!("may be kept for {} ms", addresses.keep_ms);
        Ok(ExitCode::SUCCESS)
    }

    fn request(&self) -> ApiRequest {
        ApiRequest::get("/v1/addresses")
            .parameter("caller", Some(&self.caller))
            .parameter("failure_domain", self.failure_domain.as_ref())
            .parameter("region", self.region.as_ref())
    }
}
