"""Protocol and scheduling logic, without any input or output."""
