"""Small stand-ins of the platform, its servers and its clients.

They follow the pages of the users' platform, use nothing but the standard
library and run in the process of a test; only the entry hosts are processes
of their own.
"""
