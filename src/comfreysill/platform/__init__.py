"""The platform's table service and object store, as this system uses them."""
