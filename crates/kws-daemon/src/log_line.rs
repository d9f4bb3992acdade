//! Encoding of a log line: one flat JSON object with the time, the level, the event and its fields.

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource, VisitValue},
};
use log4rs::encode::{Encode, Write};
use serde::ser::{SerializeMap, Serializer};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The end of the year 9999, since 1970.
const LATEST_TIME: Duration = Duration::from_secs(253_402_300_799);

/// Encodes a record as one line. Numbers and booleans keep their JSON type.
#[derive(Debug)]
pub(crate) struct LineEncoder;

impl Encode for LineEncoder {
    fn encode(&self, output: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let mut json = serde_json::Serializer::new(&mut *output);
        let mut map = json.serialize_map(None)?;
        map.serialize_entry("time", &format_time(SystemTime::now()))?;
        map.serialize_entry("level", record.level().as_str())?;
        map.serialize_entry("event", &record.args().to_string())?;
        record.key_values().visit(&mut FieldWriter(&mut map))?;
        map.end()?;
        output.write_all(b"\n")?;
        Ok(())
    }
}

/// The time of a line in UTC. The clock of a machine may be set to any time; one that the format can't
/// express is replaced by the nearest that it can.
pub(crate) fn format_time(time: SystemTime) -> String {
    let time = time.clamp(UNIX_EPOCH, UNIX_EPOCH + LATEST_TIME);
    humantime::format_rfc3339_micros(time).to_string()
}

/// Adds the key-value pairs of a record to the object.
struct FieldWriter<'a, M>(&'a mut M);

impl<'k, M: SerializeMap> VisitSource<'k> for FieldWriter<'_, M> {
    fn visit_pair(&mut self, key: Key<'k>, value: Value<'k>) -> Result<(), Error> {
        value.visit(ValueWriter {
            map: self.0,
            key: key.as_str(),
        })
    }
}

struct ValueWriter<'a, M> {
    map: &'a mut M,
    key: &'a str,
}

impl<M: SerializeMap> ValueWriter<'_, M> {
    fn write(&mut self, value: &(impl serde::Serialize + ?Sized)) -> Result<(), Error> {
        let written = self.map.serialize_entry(self.key, value);
        written.map_err(|_| Error::msg("failed to encode a log field"))
    }
}

impl<M: SerializeMap> VisitValue<'_> for ValueWriter<'_, M> {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        self.write(&value.to_string())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.write(&value)
    }

    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        self.write(value)
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.write(&value)
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.write(&value)
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.write(&value)
    }
}
