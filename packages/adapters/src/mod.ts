/**
 * Placeholder.
 *
 * @module
 */
export {};
