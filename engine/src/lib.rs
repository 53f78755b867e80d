//! Speaks to model servers: completions, hand-over of state, load, release.
