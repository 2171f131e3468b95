/**
 * Time line of events over all processes.
 * @module
 */
export * from './hybrid-clock.js';
export * from './timeline.js';
export * from './types.js';
