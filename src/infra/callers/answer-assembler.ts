/**
 * Puts the chunks of an OpenAI-compatible stream together into one answer.
 * @module
 */

interface ToolCall {
	index: number;
	id?: string;
	type?: string;
	function: { name: string; arguments: string };
}

interface Delta {
	role?: string;
	content?: string | null;
	refusal?: string | null;
	tool_calls?: (Partial<ToolCall> & { index: number })[];
}

interface ChunkChoice {
	index: number;
	delta?: Delta;
	text?: string;
	finish_reason?: string | null;
}

interface Chunk {
	id?: string;
	created?: number;
	model?: string;
	choices?: ChunkChoice[];
	usage?: unknown;
}

interface Choice {
	content: string;
	refusal?: string;
	toolCalls: ToolCall[];
	finishReason: string | null;
}

export class AnswerAssembler {
	private id = '';
	private created = 0;
	private model = '';
	private usage?: unknown;
	private readonly choices = new Map<number, Choice>();
	/** Bytes of text taken in, roughly. */
	textLength = 0;

	constructor(private readonly chat: boolean) {}

	/** Takes in the data of one event. */
	addChunk(data: string): void {
		const chunk = JSON.parse(data) as Chunk;
		this.id ||= chunk.id ?? '';
		this.created ||= chunk.created ?? 0;
		this.model ||= chunk.model ?? '';
		this.usage = chunk.usage ?? this.usage;
		for (const part of chunk.choices ?? []) {
			this.addChoice(part);
		}
	}

	toJson(): string {
		const choices = [...this.choices.entries()].sort((a, b) => a[0] - b[0]);
		return JSON.stringify({
			id: this.id,
			object: this.chat ? 'chat.completion' : 'text_completion',
			created: this.created,
			model: this.model,
			choices: choices.map(([index, choice]) => this.choiceJson(index, choice)),
			usage: this.usage,
		});
	}

	private addChoice(part: ChunkChoice): void {
		let choice = this.choices.get(part.index);
		if (!choice) {
			choice = { content: '', toolCalls: [], finishReason: null };
			this.choices.set(part.index, choice);
		}
		const text = part.text ?? part.delta?.content ?? '';
		choice.content += text;
		this.textLength += text.length;
		if (part.delta?.refusal) {
			choice.refusal = (choice.refusal ?? '') + part.delta.refusal;
		}
		for (const call of part.delta?.tool_calls ?? []) {
			this.addToolCall(choice, call);
		}
		choice.finishReason = part.finish_reason ?? choice.finishReason;
	}

	private addToolCall(choice: Choice, part: Partial<ToolCall> & { index: number }): void {
		let call = choice.toolCalls.find((known) => known.index === part.index);
		if (!call) {
			call = { index: part.index, function: { name: '', arguments: '' } };
			choice.toolCalls.push(call);
		}
		call.id ??= part.id;
		call.type ??= part.type;
		call.function.name += part.function?.name ?? '';
		call.function.arguments += part.function?.arguments ?? '';
		this.textLength += part.function?.arguments?.length ?? 0;
	}

	private choiceJson(index: number, choice: Choice): object {
		const tail = { index, logprobs: null, finish_reason: choice.finishReason };
		if (!this.chat) {
			return { text: choice.content, ...tail };
		}
		const calls = choice.toolCalls.map(({ id, type, function: fn }) => ({
			id,
			type,
			function: fn,
		}));
		const message = {
			role: 'assistant',
			content: choice.content,
			refusal: choice.refusal ?? null,
			...(calls.length > 0 ? { tool_calls: calls } : {}),
		};
		return { message, ...tail };
	}
}
