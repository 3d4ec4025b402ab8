/**
 * The list of endpoints, designed for the size of a large fleet: an incremental parser that never buffers a whole
 * line, a packed table, and a stored list on disk that outlasts the process. The package is independent of sockets and
 * of the event loop. It is not thread-safe: only one thread may use its objects at a time.
 */
package railspar.list;
