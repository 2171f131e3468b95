/**
 * Timeline of the events of all daemons.
 * @module
 */
export * from './hybrid-clock.js';
export * from './timeline.js';
export * from './types.js';
