"""What a softswitch measures of its traffic, and the file it is kept in."""
