/**
 * The operators' configuration.
 * @module
 */
export * from './check.js';
export * from './consts.js';
export * from './schema.js';
export type * from './types.js';
export * from './view.js';
