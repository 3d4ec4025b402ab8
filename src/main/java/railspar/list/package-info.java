/**
 * The list of endpoints at the size of a large fleet: a parser that never holds a whole line, a packed table, and a
 * copy on disk that outlasts the process. Nothing in here knows of sockets or of the event loop; one thread at a time
 * uses it.
 */
package railspar.list;
