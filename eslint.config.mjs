import tseslint from 'typescript-eslint';
import { functionVerbs } from './scripts/functionVerbs.mjs';

/** Layers from the lowest to the highest. A folder imports only from its own layer and from lower ones. */
const layers = [
	'base',
	'core',
	'entry',
	'ctl',
	'standin',
	'load',
	'bench',
	'capacity',
	'demo',
	'prove',
	'bin',
];

/** Independent features: none of them imports another, whatever their order in `layers`. */
const features = ['entry', 'ctl', 'standin', 'load', 'bench', 'capacity', 'demo', 'prove'];

/** The benchmark measures pure functions of the entry. The capacity measurement builds entries from its parts. */
const measured = 'entry';

/** The failure tests use the process harness of the demo. */
const harnessOfProve = 'demo';

/** The only allowed imports between features: importing feature to imported feature. */
const allowedBeside = new Map([
	['bench', measured],
	['capacity', measured],
	['prove', harnessOfProve],
]);

/** Packages that access the network, the file system or the process. Not allowed in `common` folders. */
const nodeOnlyPackages = ['undici', 'pino', 'yargs', 'prom-client', '@connectrpc/connect-node'];

const verbPattern = `^(${functionVerbs.join('|')})(?![a-z])`;

function listLayersBarredFrom(layer) {
	const above = layers.slice(layers.indexOf(layer) + 1);
	const isAllowed = other => other === layer || allowedBeside.get(layer) === other;
	const beside = features.includes(layer) ? features.filter(other => !isAllowed(other)) : [];
	return layer === 'bin' ? [] : [...new Set([...above, ...beside])];
}

function createLayerRule(layer, isCommon) {
	const barred = listLayersBarredFrom(layer).map(other => ({
		group: [`**/${other}/**`],
		message: `src/${layer} may not import from src/${other}: imports go downwards only.`,
	}));
	if (layer === 'bench') {
		barred.push({
			group: [`**/${measured}/node/**`],
			message: 'src/bench measures pure decisions: it imports only entry/common.',
		});
	}
	const pure = [
		{
			group: ['node:*', '**/node/**'],
			message: 'common modules are pure: no node: modules, no node folders.',
		},
	];
	return {
		files: [isCommon ? `src/${layer}/**/common/**/*.ts` : `src/${layer}/**/*.ts`],
		ignores: isCommon ? ['**/test/**'] : [],
		rules: {
			'no-restricted-imports': [
				'error',
				{ patterns: [...barred, ...(isCommon ? pure : [])], paths: isCommon ? nodeOnlyPackages : [] },
			],
		},
	};
}

/** Rules for the platform adapter: only `src/bin` may import it, and its `common` folder must be pure. */
const platformRules = [
	{
		files: ['src/**/*.ts'],
		ignores: ['src/bin/**'],
		rules: {
			'@typescript-eslint/no-restricted-imports': [
				'error',
				{
					patterns: [
						{
							regex: '^(\\.\\./)+platform/',
							message: 'only src/bin puts the adapter of the platform into a program.',
						},
					],
				},
			],
		},
	},
	{
		files: ['platform/common/**/*.ts'],
		ignores: ['**/test/**'],
		rules: {
			'no-restricted-imports': [
				'error',
				{
					patterns: [
						{
							group: ['node:*', '**/node/**'],
							message: 'common modules are pure: no node: modules, no node folders.',
						},
					],
					paths: nodeOnlyPackages,
				},
			],
		},
	},
];

export default tseslint.config(
	{
		ignores: [
			'dist/',
			'target/',
			'node_modules/',
			'src/gen/',
			'*.cjs',
			'*.mjs',
			'scripts/*.mjs',
			'scripts/*.cjs',
		],
	},
	...tseslint.configs.strictTypeChecked,
	...tseslint.configs.stylisticTypeChecked,
	{
		languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
		rules: {
			curly: ['error', 'all'],
			eqeqeq: 'error',
			'prefer-const': 'error',
			'@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
			'@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
			'@typescript-eslint/no-extraneous-class': 'off',
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: ['function', 'classMethod', 'typeMethod'],
					format: ['camelCase'],
					// Callbacks that are declared by a library keep their names.
					filter: { regex: '^on[A-Z]', match: false },
					custom: { regex: verbPattern, match: true },
				},
				// Methods that override a library class keep their names.
				{ selector: 'classMethod', modifiers: ['override'], filter: '.', format: ['camelCase'] },
				{ selector: 'interface', filter: '^I[A-Z]', format: ['PascalCase'] },
				{ selector: ['class', 'typeAlias', 'enum', 'enumMember'], format: ['PascalCase'] },
			],
		},
	},
	...layers
		.filter(layer => layer !== 'bin')
		.flatMap(layer => [createLayerRule(layer, false), createLayerRule(layer, true)]),
	...platformRules,
	{
		files: ['src/**/test/**/*.ts', 'platform/**/test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-non-null-assertion': 'off',
			'@typescript-eslint/unbound-method': 'off',
		},
	},
);
