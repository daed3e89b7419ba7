"""Run the processes: connect reducers with sockets, timers, storage and telemetry."""
