"""Model services, workspaces and availability zones, and the commands that change them."""
