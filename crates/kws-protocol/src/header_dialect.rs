//! Names of the headers by which the daemon, callers and backend servers talk.

/// A header that says something by being there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MarkHeader {
    /// Its name, in lower case.
    pub name: &'static str,
    /// The value that it must have; any one when absent.
    pub value: Option<&'static str>,
}

impl MarkHeader {
    /// Whether a header of this name with `value` is the mark.
    pub fn is_marked(&self, value: &[u8]) -> bool {
        self.value.is_none_or(|wanted| wanted.as_bytes() == value)
    }
}

/// The headers that a deployment uses; all names are in lower case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderDialect {
    /// Names a request; a backend server repeats it in its answer.
    pub request_id: &'static str,
    /// Whether callers name their requests, so that their names are passed on and repeated.
    pub caller_names_requests: bool,
    /// How many milliseconds the sender waits for the answer.
    pub deadline_ms: &'static str,
    /// The team that a request runs for.
    pub team: &'static str,
    /// The backend server that must run the request; any other answers 421. None to ask of none.
    pub expected_server: Option<&'static str>,
    /// By this a backend server says that it did not run the request.
    pub not_run: MarkHeader,
    /// By this a backend server says that it drains.
    pub draining: Option<MarkHeader>,
    /// Whether callers read fractions of seconds in `retry-after`.
    pub fractional_retry: bool,
}

impl HeaderDialect {
    /// The product's own headers.
    pub const OWN: Self = Self {
        request_id: "x-request-id",
        caller_names_requests: false,
        deadline_ms: "x-knapweedseam-deadline-ms",
        team: "x-knapweedseam-team",
        expected_server: None,
        not_run: MarkHeader {
            name: "knapweedseam-run",
            value: Some("not run"),
        },
        draining: Some(MarkHeader {
            name: "knapweedseam-drain",
            value: Some("1"),
        }),
        fractional_retry: false,
    };
}

impl Default for HeaderDialect {
    fn default() -> Self {
        Self::OWN
    }
}
