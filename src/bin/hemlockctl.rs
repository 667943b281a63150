//! The operators' command line.

use std::process::ExitCode;

use hemlockrock::ctl;

#[allow(clippy::disallowed_methods, reason = "the top of the binary")]
fn main() -> ExitCode {
    let arguments = ctl::command().get_matches();
    ExitCode::from(async_std::task::block_on(ctl::run(&arguments)))
}
