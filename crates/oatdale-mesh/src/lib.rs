//! Node to node: membership, configuration deltas, load, limits, evidence.
