//! Names of the HTTP headers exchanged between callers, the daemon and backend servers.

/// A header that signals a condition by its presence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlagHeader {
    /// Header name, in lower case.
    pub name: &'static str,
    /// Required value; `None` accepts any value.
    pub value: Option<&'static str>,
}

impl FlagHeader {
    /// Returns whether a header of this name with `value` signals the condition.
    pub fn matches(&self, value: &[u8]) -> bool {
        self.value
            .is_none_or(|required| required.as_bytes() == value)
    }
}

/// The headers used by a deployment; all names are in lower case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderDialect {
    /// Request id; a backend server echoes it in its response.
    pub request_id: &'static str,
    /// Whether every backend server echoes the id. If not, a server's connections are reused only
    /// once it has echoed one.
    pub servers_echo: bool,
    /// Whether a request id sent by the caller is kept: forwarded upstream and echoed in the
    /// response.
    pub preserve_request_id: bool,
    /// Time for which the sender waits for the response, in milliseconds.
    pub deadline_ms: &'static str,
    /// Team on whose behalf the request runs.
    pub team: &'static str,
    /// Backend server that must run the request; any other server responds with 421. `None` to omit
    /// the header.
    pub expected_server: Option<&'static str>,
    /// Signals that the backend server did not run the request.
    pub not_run: FlagHeader,
    /// Signals that the backend server is draining.
    pub draining: Option<FlagHeader>,
    /// Whether callers accept fractional seconds in `retry-after`.
    pub fractional_retry_after: bool,
}

impl HeaderDialect {
    /// The default headers of the product.
    pub const DEFAULT: Self = Self {
        request_id: "x-request-id",
        servers_echo: false,
        preserve_request_id: false,
        deadline_ms: "x-knapweedseam-deadline-ms",
        team: "x-knapweedseam-team",
        expected_server: None,
        not_run: FlagHeader {
            name: "knapweedseam-run",
            value: Some("not run"),
        },
        draining: Some(FlagHeader {
            name: "knapweedseam-drain",
            value: Some("1"),
        }),
        fractional_retry_after: false,
    };
}

impl Default for HeaderDialect {
    fn default() -> Self {
        Self::DEFAULT
    }
}
