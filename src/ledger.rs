//! The record of keyed requests: which key was handed to an endpoint.
