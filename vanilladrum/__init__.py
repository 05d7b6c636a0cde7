"""A layer-4 load balancer whose connections carry their own state."""
