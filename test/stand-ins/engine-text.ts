/**
 * Deterministic answers of the stand-in engine. Each token depends on the prompt and its index, so
 * that tests detect wrong, missing and duplicate tokens.
 * @module
 */
import * as crypto from 'node:crypto';

/** Marks the number of answer tokens in a prompt; the router ignores it. */
const lengthPattern = /len=(\d+)/;

/** Seed of the answer to a prompt. */
export function textSeed(prompt: string): number {
	return crypto.createHash('sha1').update(prompt).digest().readUInt32LE(0);
}

/** Text of the token at a zero-based index. */
export function tokenText(seed: number, index: number): string {
	const mixed = Math.imul(seed ^ (index * 0x9e3779b1), 0x85ebca6b) >>> 0;
	return `${mixed.toString(36)}-${index} `;
}

/** Number of tokens in the answer to a prompt. */
export function answerTokenCount(prompt: string): number {
	const match = lengthPattern.exec(prompt);
	return match ? Number(match[1]) : 20;
}

/** Full text of the answer to a prompt. */
export function wholeAnswer(prompt: string): string {
	const seed = textSeed(prompt);
	let text = '';
	for (let index = 0; index < answerTokenCount(prompt); index++) {
		text += tokenText(seed, index);
	}
	return text;
}
