// Replaced with the first fake.
