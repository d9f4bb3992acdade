//! Gray failure judgement, ejection and the capacity floor.
