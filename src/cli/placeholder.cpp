// Replaced with the first source of this library.
