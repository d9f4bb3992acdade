//! Rate and burst counted over all hosts together.
