//! The real placer: the decision module on sockets.

mod net;

use std::process::ExitCode;

fn main() -> ExitCode {
    let served = net::config::load().map_err(|e| e.to_string());
    match served.and_then(|config| net::serve(config).map_err(|e| e.to_string())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("anisehead: {problem}");
            ExitCode::FAILURE
        }
    }
}
