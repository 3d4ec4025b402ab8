/**
 * A fleet of hollow couriers in one process: each hosts the real decision module and its own list of endpoints, over
 * models of discovery and of the destinations. Time is simulated, so a run depends on its parameters and seed alone.
 */
package railspar.scale.fleet;
