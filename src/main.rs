//! The command-line client for operators.

use std::{
    env,
    io::{self, BufWriter},
    process::ExitCode,
};

fn main() -> ExitCode {
    let mut writer = BufWriter::new(io::stdout().lock());
    let mut errors = io::stderr().lock();
    kws_client::run_client(env::args_os(), &mut writer, &mut errors).into()
}
