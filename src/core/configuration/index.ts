/**
 * The operators' configuration: schema, validation and look-ups.
 * @module
 */
export * from './check.js';
export * from './consts.js';
export * from './schema.js';
export type * from './types.js';
export * from './view.js';
