//! Freshness lease, membership and adoption of configuration revisions.
