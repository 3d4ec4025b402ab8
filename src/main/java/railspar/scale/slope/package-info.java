/**
 * Measures in process how a courier's cost grows: a figure at several sizes, with the straight line that fits it
 * best. Nothing here is loaded by a courier that serves.
 */
package railspar.scale.slope;
