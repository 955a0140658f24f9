/**
 * The steward: VMs in pools, maintenance waves, and jobs on workers.
 *
 * @module
 */
export {};
