/**
 * Validates the settings of a daemon.
 * @module
 */
import type { Settings } from './schema.js';
import { settingsSchema } from './schema.js';
import * as tomlDocument from './toml-document.js';

export type { Settings } from './schema.js';

/** Validates a settings file and reports all findings. */
export function checkSettings(
	file: string,
	text: string,
): Promise<tomlDocument.CheckResult<Settings>> {
	return tomlDocument.checkToml(file, text, settingsSchema);
}
