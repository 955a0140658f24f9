/**
 * Load generation, experiments and plots.
 *
 * @module
 */
export {};
