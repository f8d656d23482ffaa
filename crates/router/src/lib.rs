//! The router process: sockets, threads and actors around the decisions.
