"""Pages, and the module that generates some of them."""
