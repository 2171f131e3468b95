/**
 * Settings of one daemon.
 * @module
 */
import type { Settings } from './schema.js';
import { settingsSchema } from './schema.js';
import * as tomlDocument from './toml-document.js';

export type { Settings } from './schema.js';

/** Checks a settings file as a whole. */
export function checkSettings(
	file: string,
	text: string,
): Promise<tomlDocument.CheckResult<Settings>> {
	return tomlDocument.checkToml(file, text, settingsSchema);
}
