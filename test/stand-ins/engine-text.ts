/**
 * Text of the stand-in engine: a function of the prompt and the offset, so that any wrong,
 * missing or doubled token is seen.
 * @module
 */
import * as crypto from 'node:crypto';

/** Prompts carry the length of their answer, which the router does not read. */
const lengthPattern = /len=(\d+)/;

/** Seed of a prompt's text. */
export function textSeed(prompt: string): number {
	return crypto.createHash('sha1').update(prompt).digest().readUInt32LE(0);
}

/** Token number `index`, from 0. */
export function tokenText(seed: number, index: number): string {
	const mixed = Math.imul(seed ^ (index * 0x9e3779b1), 0x85ebca6b) >>> 0;
	return `${mixed.toString(36)}-${index} `;
}

/** Tokens of the answer to a prompt. */
export function answerTokenCount(prompt: string): number {
	const match = lengthPattern.exec(prompt);
	return match ? Number(match[1]) : 20;
}

/** The whole answer. */
export function wholeAnswer(prompt: string): string {
	const seed = textSeed(prompt);
	let text = '';
	for (let index = 0; index < answerTokenCount(prompt); index++) {
		text += tokenText(seed, index);
	}
	return text;
}
