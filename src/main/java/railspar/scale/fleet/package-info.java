/**
 * Simulates a fleet of couriers in one process. Each courier runs the production decision module with its own endpoint
 * list, against models of discovery and of the destinations. Time is simulated, so the results of a run depend only on
 * its parameters and seed, except for the measured processor times.
 */
package railspar.scale.fleet;
