//! A fleet of router processes over stand-ins.

pub mod router;
