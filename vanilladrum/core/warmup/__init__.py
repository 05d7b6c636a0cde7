"""Fleet-wide limit of the first packets that a cold server receives."""
