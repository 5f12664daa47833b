//! Claims, pins and bills as a log of create-if-absent segments.
