/**
 * Adapter for the platform: wire names, data formats and clients of its store and API.
 * @module
 */
export { decodeConfiguration } from './configuration.js';
export { PlatformDutyApi } from './duty-api.js';
export { decodeEngineRegistration, engineIdOf } from './engine-registrations.js';
export {
	decodeAnswer,
	decodeRequest,
	encodeCall,
	requestIdOf,
	stripConnectionHeaders,
} from './http-messages.js';
export { parseSettings } from './settings.js';
export { PlatformStore } from './store-client.js';
export { storeKeys } from './wire-names.js';
