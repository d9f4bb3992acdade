//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes the line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
