//! Fuzz targets.
