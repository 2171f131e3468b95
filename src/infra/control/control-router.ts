/**
 * tRPC procedures of the control port; every procedure requires an operator token.
 * @module
 */
import * as trpc from '@trpc/server';
import * as zod from 'zod';
import { configurationSchema, crossCheck } from '../../core/configuration/index.js';
import { orderKinds } from '../../core/definitions.js';
import * as errors from '../../core/errors/index.js';
import type { DaemonApi } from './types.js';

/** Context of each call: the daemon's API and the bearer token of the request. */
export interface ControlContext {
	api: DaemonApi;
	token: string;
}

const t = trpc.initTRPC.context<ControlContext>().create();

const operatorProcedure = t.procedure.use(({ ctx, next }) => {
	if (!ctx.api.isOperator(ctx.token)) {
		throw new trpc.TRPCError({ code: 'UNAUTHORIZED', message: 'the operator token is unknown' });
	}
	return next();
});

const configurationChangeSchema = zod.object({
	document: configurationSchema,
	base: zod.int().min(0),
	by: zod.string().min(1).max(100),
});

export const controlRouter = t.router({
	status: operatorProcedure.query(({ ctx }) => ctx.api.status()),
	requests: operatorProcedure.query(({ ctx }) => ctx.api.requests()),
	endpoints: operatorProcedure.query(({ ctx }) => ctx.api.endpoints()),
	events: operatorProcedure
		.input(zod.object({ since: zod.int().min(0) }))
		.query(({ ctx, input }) => ctx.api.events(input.since)),
	configuration: operatorProcedure.query(({ ctx }) => ctx.api.configuration() ?? null),
	answer: operatorProcedure
		.input(zod.object({ request: zod.string() }))
		.query(async ({ ctx, input }) => {
			const answer = await ctx.api.answer(input.request);
			return answer ? { ...answer, body: Buffer.from(answer.body).toString('base64') } : null;
		}),
	order: operatorProcedure
		.input(
			zod.object({
				endpoint: zod.string(),
				kind: zod.enum(orderKinds),
				argument: zod.string().max(200),
			}),
		)
		.mutation(({ ctx, input }) =>
			translateErrors(() => ctx.api.order(input.endpoint, input.kind, input.argument)),
		),
	cutPeers: operatorProcedure
		.input(zod.object({ peers: zod.array(zod.string()) }))
		.mutation(({ ctx, input }) => translateErrors(async () => ctx.api.cutPeers(input.peers))),
	applyConfiguration: operatorProcedure
		.input(configurationChangeSchema)
		.mutation(async ({ ctx, input }) => {
			const problems = crossCheck(input.document);
			if (problems.length > 0) {
				const message = problems.map((problem) => problem.message).join('; ');
				throw new trpc.TRPCError({ code: 'BAD_REQUEST', message });
			}
			return translateErrors(() => ctx.api.applyConfiguration(input));
		}),
});

export type ControlRouter = typeof controlRouter;

/** Turns a `UserError` into a `TRPCError` with a matching code. */
async function translateErrors<T>(operation: () => Promise<T>): Promise<T> {
	try {
		return await operation();
	} catch (err) {
		if (!(err instanceof errors.UserError)) {
			throw err;
		}
		const hint = err.data.hint ? ` ${err.data.hint}` : '';
		const code = err.data.status === 409 ? 'CONFLICT' : 'SERVICE_UNAVAILABLE';
		throw new trpc.TRPCError({ code, message: `${err.name}: ${err.message}${hint}` });
	}
}
