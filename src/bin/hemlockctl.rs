//! `hemlockctl`: the command-line tool for operators.

use std::process::ExitCode;

use hemlockrock::ctl;

#[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
fn main() -> ExitCode {
    let arguments = ctl::command().get_matches();
    ExitCode::from(async_std::task::block_on(ctl::run(&arguments)))
}
