/**
 * Measures in process how the costs of a courier grow with size: each figure at several sizes, with the straight line
 * that fits it best. A courier process does not load these classes.
 */
package railspar.scale.slope;
