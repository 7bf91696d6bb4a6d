//! Answers and requests without end.
