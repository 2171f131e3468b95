/**
 * Adapter of the platform: its names, formats and calls. Decides nothing.
 * @module
 */
export { decodeConfiguration } from './configuration.js';
export { PlatformDutyApi } from './duty-api.js';
export { decodeEngineRegistration, engineIdOf } from './engine-registrations.js';
export { decodeAnswer, decodeRequest, encodeCall } from './http-messages.js';
export { parseSettings } from './settings.js';
export { PlatformStore } from './store-client.js';
export { storeKeys } from './wire-names.js';
