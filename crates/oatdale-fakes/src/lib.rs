//! Small stand-ins for the platform and the endpoints, with failure switches.
